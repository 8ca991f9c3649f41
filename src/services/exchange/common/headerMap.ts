/** Headers by lower-case name. */
export type HeaderMap = Readonly<Record<string, string | string[] | undefined>>;
