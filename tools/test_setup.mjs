import { bundle, bundlePlatform } from "./bundle.mjs";

/** Bundles the programs once before the tests that start them as processes. */
export default async function setup() {
    await Promise.all([bundle(), bundlePlatform()]);
}
