import type { FastifyReply, FastifyRequest, HookHandlerDoneFunction } from 'fastify';
import { sendProblem } from './problemReply.js';
import type { RequestGuard } from './requestGuard.js';

/**
 * Creates a hook that refuses a request before its body is read if its head already tells that it must be.
 * Its route admits the request again, since the state may have changed while the body was read.
 *
 * @param guard - Admits requests.
 * @returns The hook, for `onRequest`.
 */
export function admitBeforeBody(
  guard: RequestGuard,
): (req: FastifyRequest, reply: FastifyReply, done: HookHandlerDoneFunction) => void {
  return (req, reply, done) => {
    const admitted = guard.admit(req);
    if (admitted.isErr()) {
      sendProblem(reply, admitted.error);
    } else {
      done();
    }
  };
}
