/**
 * Exports only the part of undici that a gateway uses.
 *
 * The main module of undici also loads fetch, WebSocket and caches, which takes longer than the
 * rest of a gateway's start.
 */
const Agent = require('../node_modules/undici/lib/dispatcher/agent.js');
const Client = require('../node_modules/undici/lib/dispatcher/client.js');
const buildConnector = require('../node_modules/undici/lib/core/connect.js');
const api = require('../node_modules/undici/lib/api');

module.exports = {
  Agent,
  Client,
  buildConnector,
  request: (url, { dispatcher, ...options }) => {
    const { origin, pathname, search } = new URL(url);
    return api.request.call(dispatcher, { ...options, origin, path: `${pathname}${search}` });
  },
};
