export type {WorkClass} from '@tamarackwind/settings';
