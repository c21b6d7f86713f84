import { StandInServer } from "./stand_in_server.ts";

interface ListedInstance {
    name: string;
    address: string;
    state: "live" | "leaving";
}

/**
 * Stand-in for the platform's instance list.
 *
 * The `instances` set through `/control` become visible after `lagMilliseconds`.
 *
 * @example
 * ```ts
 * const list = new InstanceListStandIn("127.0.0.1:7100");
 * await list.listen();
 * ```
 */
export class InstanceListStandIn extends StandInServer {
    #visible: ListedInstance[] = [];
    #reads = 0;

    /** @inheritdoc */
    protected async answer({ response }: Parameters<StandInServer["answer"]>[0]): Promise<void> {
        this.#reads++;
        this.reply(response, 200, { instances: this.#visible });
    }

    /** @inheritdoc */
    protected describe(): object {
        return { reads: this.#reads, visible: this.#visible };
    }

    /** @inheritdoc */
    protected override onFaultsChanged(): void {
        const instances = (this.faults["instances"] ?? []) as ListedInstance[];
        setTimeout(() => {
            this.#visible = instances;
        }, Number(this.faults["lagMilliseconds"] ?? 0));
    }
}
