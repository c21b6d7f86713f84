/** Memory for the body of a response, which may have to wait for room. */
export interface BodyMemory {
    /**
     * Holds memory if there is room.
     *
     * @param bytes Further bytes of the body.
     * @param dueBytes Bytes of the body that are still to arrive; infinity if that is not known. Default: 0.
     * @returns Whether they have room.
     */
    tryHold(bytes: number, dueBytes?: number): boolean;
    /**
     * Holds memory once there is room.
     *
     * @param bytes Further bytes of the body.
     * @returns Whether they have room; false if they are no longer needed.
     */
    hold(bytes: number): Promise<boolean>;
}
