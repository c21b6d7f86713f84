/** Code of the error by which a connection beyond the bound is rejected. */
export const TOO_MANY_CONNECTIONS_CODE = "ERR_TOO_MANY_CONNECTIONS";
