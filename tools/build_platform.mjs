import { bundlePlatform } from "./bundle.mjs";

await bundlePlatform();
