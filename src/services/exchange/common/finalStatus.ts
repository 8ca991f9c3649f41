/** Range of the statuses of whole answers; lower ones are interim, and no others are defined. */
const minFinalStatus = 200;
const maxFinalStatus = 599;

const minInterimStatus = 100;

/** Changes the protocol of a connection, which no request here asks for. */
const switchingProtocolsStatus = 101;

/**
 * Returns whether a status is one of a whole answer.
 *
 * @param status - Status as received.
 */
export function isFinalStatus(status: number): boolean {
  return status >= minFinalStatus && status <= maxFinalStatus;
}

/**
 * Returns whether a status announces that the answer is still to come.
 *
 * @param status - Status as received.
 */
export function isInterimStatus(status: number): boolean {
  return (
    status >= minInterimStatus && status < minFinalStatus && status !== switchingProtocolsStatus
  );
}
