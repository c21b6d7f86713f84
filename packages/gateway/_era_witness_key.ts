/** Store key of the item that names the last era of the store that instances have trusted. */
export const ERA_WITNESS_KEY = "laburnumslip/era";
