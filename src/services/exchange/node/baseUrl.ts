/** Parts of a base URL that a request needs. */
export interface BaseUrl {
  /** Host and port. */
  readonly address: string;
  /** `http:` or `https:`. */
  readonly protocol: string;
  /** Path before that of each request, without a slash at its end. */
  readonly path: string;
}

/**
 * Splits the base URL of a service.
 *
 * @param url - Base URL, for example `http://127.0.0.1:9000`.
 * @throws TypeError if it is no URL.
 */
export function splitBaseUrl(url: string): BaseUrl {
  const { host, protocol, pathname } = new URL(url);
  return { address: host, protocol, path: pathname.replace(/\/$/, '') };
}
