/** Stands in for `node:http2`, which gateways don't speak; undici does without it. */
throw new Error('HTTP/2 is not part of this program');
