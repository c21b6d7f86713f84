import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** V8's function for collections, which `--expose-gc` gives to new contexts. */
export function exposeCollect(): (options: { type: "minor" | "major"; }) => void {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as (options: { type: "minor" | "major"; }) => void;
    setFlagsFromString("--no-expose-gc");
    return collect;
}
