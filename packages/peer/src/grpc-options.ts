/**
 * Options of gRPC channels and servers. The retries, service config resolution and proxy support of gRPC are disabled.
 */
/* eslint-disable @typescript-eslint/naming-convention */

const maxReplyBytes = 64 * 1024 * 1024;
const maxMessageBytes = 1024 * 1024;

export const channelOptions = {
	'grpc.enable_retries': 0,
	'grpc.service_config_disable_resolution': 1,
	'grpc.use_local_subchannel_pool': 1,
	'grpc.enable_http_proxy': 0,
	'grpc.max_receive_message_length': maxReplyBytes,
};

export const serverOptions = {
	'grpc.max_receive_message_length': maxMessageBytes,
};
