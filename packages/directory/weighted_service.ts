/** A service with its part of a route's traffic. */
export interface WeightedService {
    service: string;
    weight: number;
}
