import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { expect } from 'chai';
import { PauseDirection, FaultProxy } from '../../node/faultProxy.js';

describe('FaultProxy', () => {
  let proxy: FaultProxy;
  let accepted: Socket[];
  const server = createServer((socket) => {
    accepted.push(socket.on('error', () => undefined));
    socket.pipe(socket);
  });

  beforeEach(async () => {
    accepted = [];
    server.listen(0, '127.0.0.1');
    await once(server, 'listening');
    proxy = new FaultProxy((server.address() as AddressInfo).port, 0);
    await proxy.listen();
  });

  afterEach(async () => {
    proxy.close();
    accepted.forEach((socket) => socket.destroy());
    if (server.listening) {
      server.close();
      await once(server, 'close');
    }
  });

  /** Opens a connection through the proxy; `ended` resolves to the way in which it ends. */
  function open(): { readonly socket: Socket; readonly ended: Promise<string> } {
    const socket = connect(proxy.port, '127.0.0.1');
    const ended = new Promise<string>((resolve) => {
      socket.on('error', (err) => resolve(err.message));
      socket.on('close', () => resolve('closed'));
      socket.on('end', () => resolve('ended'));
    });
    return { socket, ended };
  }

  it('forwards a reset as a reset', async () => {
    const { socket, ended } = open();
    socket.write('x');
    await once(socket, 'data');
    accepted[0].resetAndDestroy();
    expect(await ended).to.include('ECONNRESET');
  });

  it('records the ports of clients whose connection the target refused', async () => {
    server.close();
    await once(server, 'close');
    const { socket, ended } = open();
    await once(socket, 'connect');
    const port = socket.localPort ?? 0;
    await ended;
    expect(proxy.refusedPorts.has(port)).to.equal(true);
  });

  it('pauses data in one direction until it is resumed', async () => {
    const { socket } = open();
    await once(socket, 'connect');
    proxy.pause(PauseDirection.ToClient);
    socket.write('held');
    const received = once(socket, 'data');
    let isReceived = false;
    void received.then(() => {
      isReceived = true;
    });
    const other = open().socket;
    other.write('x'); // reaches the target after the paused data
    while (accepted.length < 2 || accepted[1].bytesRead === 0) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    expect(isReceived).to.equal(false);
    proxy.resume();
    expect(String((await received)[0])).to.equal('held');
  });

  it('keeps the order of data and of the end after it when the delay changes', async () => {
    const { socket, ended } = open();
    socket.write('x');
    await once(socket, 'data');
    let text = '';
    socket.on('data', (data) => {
      text += data.toString();
    });
    proxy.delayMs = 50;
    accepted[0].write('first');
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
    proxy.delayMs = 0;
    accepted[0].end(' last');
    expect(await ended).to.equal('ended');
    expect(text).to.equal('first last');
  });

  it('reads no more than it can pass on from a side that sends without end', async () => {
    const { socket } = open();
    socket.pause();
    socket.write('x');
    while (accepted.length === 0) {
      await new Promise((resolve) => {
        setTimeout(resolve, 1);
      });
    }
    const [sender] = accepted;
    const piece = Buffer.alloc(1_048_576);
    const pieceCount = 64;
    for (let count = 0; count < pieceCount; count += 1) {
      sender.write(piece);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 200);
    });
    expect(sender.writableLength).to.be.greaterThan((pieceCount / 2) * piece.length);
    let received = 0;
    socket.on('data', (data) => {
      received += data.length;
    });
    socket.resume();
    while (received <= pieceCount * piece.length) {
      await once(socket, 'data');
    }
    expect(received).to.equal(pieceCount * piece.length + 1);
  });
});
