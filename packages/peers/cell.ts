/** A group of instances that exchange detailed reports. */
export interface Cell {
    id: string;
    /** Names of its instances. */
    members: string[];
    /** Position in the fleet at which the cell begins, as a fraction of all instances. */
    start: number;
    /** Position in the fleet at which the cell ends, as a fraction of all instances. */
    end: number;
}
