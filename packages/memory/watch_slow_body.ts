/** Time in milliseconds that a body may take to arrive while there is no memory for other requests. */
const SLOW_BODY_MILLISECONDS = 5_000;
const CHECK_MILLISECONDS = 1_000;

/**
 * Watches a body that arrives, so that those which are sent slowly do not keep all memory from other requests.
 *
 * @param hasRoom Tells whether there is memory for another request.
 * @param refuse Called once if the body has taken too long and there is none.
 * @returns A function that ends the watch. Further calls do nothing.
 * @example
 * ```ts
 * const endWatch = watchSlowBody(() => budget.hasRoom(32_768, "request"), () => refuse("memory-full"));
 * incoming.on("end", endWatch);
 * ```
 */
export function watchSlowBody(hasRoom: () => boolean, refuse: () => void): () => void {
    const check = () => {
        if (hasRoom()) {
            timer = setTimeout(check, CHECK_MILLISECONDS);
            return;
        }
        refuse();
    };
    let timer = setTimeout(check, SLOW_BODY_MILLISECONDS);
    return () => clearTimeout(timer);
}
