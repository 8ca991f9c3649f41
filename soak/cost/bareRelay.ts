import { createServer, request } from 'node:http';
import type { AddressInfo } from 'node:net';

/**
 * Passes requests on to one address and answers back, with no decision: what the least relay on this
 * runtime costs, as a floor for the gateway.
 */
const [host, port] = process.argv[2].split(':');
const server = createServer((req, res) => {
  const upstream = request(
    { host, port, method: req.method, path: req.url, headers: req.headers },
    (answer) => {
      res.writeHead(answer.statusCode ?? 502, answer.headers);
      answer.pipe(res);
    },
  );
  upstream.on('error', () => res.destroy());
  req.pipe(upstream);
});
server.listen(0, '127.0.0.1', () => {
  process.stdout.write(
    `event=started callers=127.0.0.1:${(server.address() as AddressInfo).port}\n`,
  );
});
