/** Time in milliseconds for which a reset of a connection is waited for after the end of a response that ends with it. */
export const RESET_WAIT_MILLISECONDS = 100;
