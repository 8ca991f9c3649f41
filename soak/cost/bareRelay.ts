import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

/**
 * Forwards every request to one address and returns its answer without any routing decision. Its
 * cost is a lower bound for a relay on this runtime, with which the gateway's cost is compared.
 */
const [host, port] = process.argv[2].split(':');
const server = createServer((req, res) => {
  const upstreamReq = request(
    { host, port, method: req.method, path: req.url, headers: req.headers },
    (upstreamRes) => {
      res.writeHead(upstreamRes.statusCode ?? 502, upstreamRes.headers);
      upstreamRes.pipe(res);
    },
  );
  upstreamReq.on('error', () => res.destroy());
  req.pipe(upstreamReq);
});
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(
    `event=started callers=127.0.0.1:${(server.address() as AddressInfo).port}\n`,
  );
});
