/** What an organisation asks for at all instances together. */
export interface OrganisationRate {
    name: string;
    /** Its weight: the rate that its limit allows. */
    weight: number;
    /** Units that it asks for per second, in those of its limit. */
    askedRate: number;
}
