/** Load of requests on one endpoint. */
export interface EndpointLoad {
  /** Reserved key-value cache capacity, in tokens times layers. */
  tokenLayers: number;
  /** Requests whose path includes the endpoint. */
  requests: number;
  /** Requests for which it runs the first stage of the path. */
  firstStageRequests: number;
  /** Expected prefill time of requests whose first event hasn't arrived yet, in milliseconds. */
  prefillMs: number;
  /** Prompt tokens of these requests; undefined while prompts aren't paced. */
  promptTokens?: number;
  /** Part of `promptTokens` that belongs to long prompts. */
  longPromptTokens?: number;
}

/** Returns the load of an endpoint without requests. */
export function emptyLoad(): EndpointLoad {
  return { tokenLayers: 0, requests: 0, firstStageRequests: 0, prefillMs: 0 };
}

/**
 * Adds the prompt tokens of a load or a reservation to a load, or takes them off. A load without prompt tokens
 * keeps no fields for them.
 *
 * @param load - Load to change.
 * @param other - Prompt tokens to add.
 * @param sign - 1 to add, -1 to take off.
 */
export function addPromptTokens(
  load: EndpointLoad,
  other: Readonly<Pick<EndpointLoad, 'promptTokens' | 'longPromptTokens'>>,
  sign: 1 | -1,
): void {
  if (other.promptTokens !== undefined) {
    load.promptTokens = Math.max(0, (load.promptTokens ?? 0) + sign * other.promptTokens);
  }
  if (other.longPromptTokens !== undefined) {
    load.longPromptTokens = Math.max(
      0,
      (load.longPromptTokens ?? 0) + sign * other.longPromptTokens,
    );
  }
}

/**
 * Adds a load to another one, or takes it off.
 *
 * @param load - Load to change.
 * @param other - Load to add.
 * @param sign - 1 to add, -1 to take off.
 */
export function addLoad(load: EndpointLoad, other: EndpointLoad, sign: 1 | -1 = 1): void {
  load.tokenLayers += sign * other.tokenLayers;
  load.requests += sign * other.requests;
  load.firstStageRequests += sign * other.firstStageRequests;
  load.prefillMs += sign * other.prefillMs;
  addPromptTokens(load, other, sign);
}
