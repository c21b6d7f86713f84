import { expect, test } from "vitest";
import { parseRegistration } from "./_parse_registration.ts";

const peer = { name: "instance-1", incarnation: "1f", address: "10.0.0.1:7600", failureDomain: "north" };

// Guards against members that nobody can remove, since their item has another key than their name tells.
test("an item that names another instance than its key is no registration", () => {
    expect(parseRegistration("instance-1", JSON.stringify(peer))).toEqual(peer);
    expect(() => parseRegistration("instance-2", JSON.stringify(peer))).toThrow("names instance-1");
});

// Guards against members that are not known, since nothing can be passed on to them.
test("a registration whose address for callers is not usable holds without it", () => {
    const registration = { ...peer, callersAddress: `${"a".repeat(64)}:80` };
    expect(parseRegistration("instance-1", JSON.stringify(registration))).toEqual(peer);
});
