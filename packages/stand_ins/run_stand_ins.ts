import { readFile } from "node:fs/promises";
import { EngineStandIn } from "./engine_stand_in.ts";
import { InstanceListStandIn } from "./instance_list_stand_in.ts";
import { ServiceStandIn } from "./service_stand_in.ts";
import type { StandInConfiguration } from "./stand_in_configuration.ts";
import type { StandInServer } from "./stand_in_server.ts";
import { StoreStandIn } from "./store_stand_in.ts";

/**
 * Starts the stand-ins listed in a file.
 *
 * @param file Path of a JSON file.
 * @returns A promise that resolves once all of them listen.
 * @example
 * ```ts
 * await runStandIns("stand-ins.json");
 * ```
 */
export async function runStandIns(file: string): Promise<void> {
    const configuration = JSON.parse(await readFile(file, "utf8")) as StandInConfiguration;
    await Promise.all(configuration.map(entry => createStandIn(entry).listen()));
    process.on("SIGTERM", () => process.exit(0));
}

function createStandIn({ kind, address, engine }: StandInConfiguration[number]): StandInServer {
    switch (kind) {
        case "store":
            return new StoreStandIn(address);
        case "instance-list":
            return new InstanceListStandIn(address);
        case "engine":
            return new EngineStandIn(address, engine);
        case "service":
            return new ServiceStandIn(address);
    }
}
