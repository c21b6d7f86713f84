/** Functions that are called for each event, in the order in which they were added. */
export class ListenerList<Event> {
    readonly #listeners: ((event: Event) => void)[] = [];

    /** Adds a function. */
    add(listener: (event: Event) => void): void {
        this.#listeners.push(listener);
    }

    /** Calls the functions with an event. */
    emit(event: Event): void {
        this.#listeners.forEach(listener => listener(event));
    }
}
