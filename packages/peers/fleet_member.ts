/** An instance as the partition of the fleet sees it. */
export interface FleetMember {
    name: string;
    failureDomain: string;
}
