import { expect, test } from "vitest";
import { parsePromptSections } from "./parse_prompt_sections.ts";

test.each([
    ["5c1e:800, 91bd:410", [{ key: "models/5c1e", tokens: 800 }, { key: "models/91bd", tokens: 410 }]],
    ["5c1e:800,91bd,e440:250", [{ key: "models/5c1e", tokens: 800 }]],
    ["5c1e:-1,91bd:410", []],
    [":5", []],
    [`${"a".repeat(256)}:5`, []],
    ["", []],
    [undefined, []],
])("the sections of %s end before the first malformed part", (header, expected) => {
    expect(parsePromptSections("models", header)).toEqual(expected);
});

test("a prompt has at most 64 sections", () => {
    expect(parsePromptSections("models", "x:1,".repeat(1_000))).toHaveLength(64);
});
