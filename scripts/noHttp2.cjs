/**
 * Replaces `node:http2` in the gateway's bundle: gateways do not use HTTP/2, and undici works
 * without it.
 */
throw new Error('node:http2 is not included in this bundle');
