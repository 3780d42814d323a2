/*
 * Choice of the peers that are polled (neighbours).
 *
 * Seats at fixed distances in the seat list are preferred, so that every seat
 * is polled by equally many nodes. Neighbours that do not answer are replaced,
 * and so is one neighbour at regular intervals.
 */
#include "libmember/member_private.h"

#include <xxhash.h>

#include "baobabward/clock.h"

/* Unanswered requests after which a neighbour is replaced. */
#define MISSES_MAX 2
/*
 * One neighbour is replaced per interval, so that the graph of neighbours
 * changes and an unfavourable choice does not last. A new connection costs
 * about 1.2 KB.
 */
#define ROTATION_INTERVAL_US (30 * BB_US_PER_S)
/*
 * One in this many random neighbours is drawn from all seats, the others from
 * the seats that are alive. Otherwise the two sides of a healed partition would
 * never poll each other.
 */
#define ANY_SEAT_ONE_IN 4
/* Distances tried for each wanted neighbour; some lead to the same seat. */
#define DISTANCES_PER_NEIGHBOUR 2
/* Random draws before a seat that is not alive is accepted. */
#define DRAWS_MAX 16

static bool is_neighbour(const struct bb_member *m, uint32_t host)
{
	for (size_t i = 0; i < m->neighbours_nr; i++) {
		if (m->neighbours[i].host == host)
			return true;
	}
	return false;
}

/*
 * Seat at the @k-th distance from the own one. All nodes use the same
 * distances, so that every seat is the neighbour of equally many nodes:
 * evidence of a seat that few nodes poll directly would be old at all of them.
 */
static uint32_t seat_at_distance(const struct bb_member *m, uint64_t k)
{
	uint64_t distance = 1 + XXH64(&k, sizeof(k), 0) % (m->seats_nr - 1);

	return (uint32_t)((m->self + distance) % m->seats_nr);
}

/* Chooses another seat that is not a neighbour yet, or BB_NO_ROW. */
static uint32_t choose_seat(struct bb_member *m, int64_t now_us)
{
	bool any = !g_rand_int_range(m->o.rand, 0, ANY_SEAT_ONE_IN);
	uint32_t found = BB_NO_ROW;

	for (uint64_t k = 0; m->self != BB_NO_ROW &&
			     k < DISTANCES_PER_NEIGHBOUR * m->o.neighbours;
	     k++) {
		uint32_t seat = seat_at_distance(m, k);

		if (is_neighbour(m, seat))
			continue;
		if (now_us - m->seats[seat].last_dropped_us >=
		    ROTATION_INTERVAL_US)
			return seat;
	}
	for (int i = 0; i < DRAWS_MAX; i++) {
		uint32_t seat = (uint32_t)g_rand_int_range(m->o.rand, 0,
							   (gint32)m->seats_nr);

		if (seat == m->self || is_neighbour(m, seat))
			continue;
		if (any || bb_member_alive(m, seat, now_us))
			return seat;
		if (found == BB_NO_ROW)
			found = seat;
	}
	return found;
}

void bb_member_fill_neighbours(struct bb_member *m, int64_t now_us)
{
	size_t others = m->seats_nr - (m->self != BB_NO_ROW);
	size_t wanted = MIN(m->o.neighbours, others);

	while (m->neighbours_nr < wanted) {
		uint32_t seat = choose_seat(m, now_us);

		if (seat == BB_NO_ROW)
			return;
		m->neighbours[m->neighbours_nr].host = seat;
		m->neighbours[m->neighbours_nr++].misses = 0;
		if (m->o.connect_peer)
			m->o.connect_peer(m->o.data, seat);
	}
}

static void drop_neighbour(struct bb_member *m, size_t i)
{
	m->neighbours[i] = m->neighbours[--m->neighbours_nr];
}

/* Drops neighbours that do not answer, and one per rotation interval. */
static void drop_neighbours(struct bb_member *m, int64_t now_us)
{
	size_t others = m->seats_nr - (m->self != BB_NO_ROW);

	for (size_t i = m->neighbours_nr; i-- > 0;) {
		const struct bb_neighbour *n = &m->neighbours[i];

		if (n->misses < MISSES_MAX)
			continue;
		m->seats[n->host].last_dropped_us = now_us;
		drop_neighbour(m, i);
	}
	if (now_us < m->next_rotation_us)
		return;
	m->next_rotation_us = now_us + ROTATION_INTERVAL_US;
	if (m->neighbours_nr && others > m->o.neighbours)
		drop_neighbour(
			m, (size_t)g_rand_int_range(m->o.rand, 0,
						    (gint32)m->neighbours_nr));
}

struct bb_neighbour *bb_member_next_neighbour(struct bb_member *m,
					      int64_t now_us)
{
	drop_neighbours(m, now_us);
	bb_member_fill_neighbours(m, now_us);
	if (!m->neighbours_nr)
		return NULL;
	m->neighbour_index = (m->neighbour_index + 1) % m->neighbours_nr;
	return &m->neighbours[m->neighbour_index];
}
