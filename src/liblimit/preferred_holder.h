/* Choice of the hosts that should hold a group. It depends on liveness, on
 * which nodes may differ. */
#ifndef BB_LIMIT_PREFERRED_HOLDER_H
#define BB_LIMIT_PREFERRED_HOLDER_H

#include "baobabward/lease.h"

/*
 * Two holders share a group, so that half of the seats are left if one fails:
 * the first live committee member of even rank should hold the seats of even
 * rank, and the first of odd rank the others. If one fails, the seats of the
 * other do not move.
 */

/**
 * bb_nth_live_seat() - n-th live committee member among ranks of one parity.
 * @m: the map
 * @group: the group
 * @parity: 0 or 1
 * @nth: 0 for the first
 * @alive: liveness
 * @data: for @alive
 * @now_us: time
 *
 * Return: index of the host, or BB_NO_ROW.
 */
static inline uint32_t bb_nth_live_seat(const struct bb_lease_map *m,
					uint32_t group, uint32_t parity,
					uint32_t nth, bb_lease_alive_fn *alive,
					void *data, int64_t now_us)
{
	uint32_t seats = bb_lease_map_seats(m);
	uint32_t holders = bb_lease_map_holders(m);

	for (uint32_t rank = parity; rank < seats; rank += holders) {
		uint32_t host = bb_lease_map_seat(m, group, rank);

		if (alive(data, host, now_us) && !nth--)
			return host;
	}
	return BB_NO_ROW;
}

/**
 * bb_preferred_holder() - host that should hold the seat of a rank.
 *
 * This is the first live member of the same parity, else of the other one.
 *
 * Return: index of the host, or BB_NO_ROW if no committee member is alive.
 */
static inline uint32_t bb_preferred_holder(const struct bb_lease_map *m,
					   uint32_t group, uint32_t rank,
					   bb_lease_alive_fn *alive, void *data,
					   int64_t now_us)
{
	uint32_t host =
		bb_nth_live_seat(m, group, rank % 2, 0, alive, data, now_us);

	if (host != BB_NO_ROW)
		return host;
	return bb_nth_live_seat(m, group, 1 - rank % 2, 0, alive, data, now_us);
}

#endif
