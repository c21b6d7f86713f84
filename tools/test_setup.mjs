import { bundle, bundlePlatform } from "./bundle.mjs";

/** Bundles the programs once, before the tests, some of which start them as processes. */
export default async function setup() {
    await Promise.all([bundle(), bundlePlatform()]);
}
