import type { Exchange } from "./_exchange.ts";

/**
 * Makes room for the first read of a service's answer, without which the call must not be sent. Waits for it in the order of
 * the calls.
 *
 * @param timeoutMilliseconds Longest wait.
 * @returns Whether there is room; false if the request was given up or the time has passed.
 */
export async function expectAnswer(exchange: Exchange, timeoutMilliseconds: number): Promise<boolean> {
    const { signal, memory: { serviceAnswers } } = exchange;
    if (signal.aborted || serviceAnswers.tryExpect()) {
        return !signal.aborted;
    }
    const wait = new AbortController();
    const end = () => wait.abort();
    const timer = setTimeout(end, timeoutMilliseconds);
    signal.addEventListener("abort", end, { once: true });
    try {
        return await serviceAnswers.expect(wait.signal);
    }
    finally {
        clearTimeout(timer);
        signal.removeEventListener("abort", end);
    }
}
