/** Client of the platform's list of live and leaving instances. */
export { HttpInstanceList } from "./http_instance_list.ts";
export type { InstanceList } from "./instance_list.ts";
export type { ListedInstance } from "./listed_instance.ts";
