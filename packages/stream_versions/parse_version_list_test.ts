import { expect, test } from "vitest";
import { formatVersionList } from "./_format_version_list.ts";
import { parseVersionList } from "./_parse_version_list.ts";

const FULL_LIST = formatVersionList({
    versions: new Set(["v2", "v1"]),
    era: 3,
    unregistered: new Map([["i-1", 7]]),
});

test.each([
    ["no item", undefined, [], undefined],
    ["a list of an earlier program", '["v1","v2"]', ["v1", "v2"], undefined],
    ["a list that names its era", FULL_LIST, ["v1", "v2"], 3],
    ["an era that is no number", '["v1",{"era":"3"}]', ["v1"], undefined],
    ["an object of another writer", '{"era":3}', [], undefined],
    ["bytes that are no JSON", "{not a list", [], undefined],
])("versions and era of a list: %s", (_name, value, versions, era) => {
    expect(parseVersionList(value)).toMatchObject({ versions: new Set(versions), era });
});

test("a list names processes that have no entry", () => {
    expect([...parseVersionList(FULL_LIST).unregistered]).toEqual([["i-1", 7]]);
    expect([...parseVersionList('["v1",{"server":1}]').unregistered]).toEqual([]);
});

// Guards against instances of an earlier program that cannot read the list while a fleet is updated.
test("a program that reads only the texts of the list finds the versions", () => {
    const content = JSON.parse(FULL_LIST) as unknown[];
    expect(content.filter(entry => typeof entry === "string")).toEqual(["v1", "v2"]);
});
