import { expect, test } from "vitest";
import { parsePromptParts } from "./parse_prompt_parts.ts";

test("the parts that requests may share are all but the last one", () => {
    expect(parsePromptParts("models", "5c1e:800, 91bd:410,e440:250")).toEqual(["models/5c1e", "models/91bd"]);
    expect(parsePromptParts("models", "5c1e:800")).toEqual([]);
    expect(parsePromptParts("models", undefined)).toEqual([]);
});

test("malformed and repeated parts are left out", () => {
    expect(parsePromptParts("models", ",:5,nothing,5c1e:800,5c1e:1,last:1")).toEqual(["models/5c1e"]);
    expect(parsePromptParts("models", `${"a".repeat(250)}:1,last:1`)).toEqual([]);
    expect(parsePromptParts("models", "x:1,".repeat(1_000))).toEqual(["models/x"]);
});
