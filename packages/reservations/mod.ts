/** Reservations of the capacity of backend servers. The home of a server grants them to all instances. */
export { FairQueue } from "./fair_queue.ts";
export type { HeldReservation } from "./held_reservation.ts";
export { HeldReservations } from "./held_reservations.ts";
export { HomedServerLedgers } from "./homed_server_ledgers.ts";
export { ReservationClient } from "./reservation_client.ts";
export { reservationParameters } from "./reservation_parameters.ts";
export { reservationTimes } from "./reservation_times.ts";
export type { ReserveRequest } from "./reserve_request.ts";
export type { ReserveResponse } from "./reserve_response.ts";
export { ServerLedger } from "./server_ledger.ts";
export type { ServerLoadHint } from "./server_load_hint.ts";
