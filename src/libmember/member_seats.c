/*
 * Tables of a seat list, and the change to another list.
 *
 * Evidence is carried over by host name: it never moves to another host.
 */
#include "libmember/member_private.h"

#include <string.h>

void bb_member_seats_init(struct bb_member *m, const struct bb_config *config)
{
	size_t nr = config->hosts_nr, bytes = (nr + 7) / 8;

	m->o.config = config;
	m->seats_nr = nr;
	m->self = BB_NO_ROW;
	m->seats = g_new0(struct bb_seat, nr + 1);
	m->sorted_us = g_new(int64_t, nr + 1);
	m->buffer.age_units = g_new(uint16_t, nr + 1);
	m->buffer.seats = g_malloc(bytes * BB_DIGEST_SECTIONS_MAX + 1);
	m->buffer.stopping = g_malloc(bytes * BB_DIGEST_SECTIONS_MAX + 1);
	m->buffer.ages = g_malloc(nr + 1);
	m->quorum_valid = false;
	for (size_t i = 0; i < nr; i++) {
		m->seats[i].last_ran_us = BB_MEMBER_NEVER_US;
		m->seats[i].last_serving_us = BB_MEMBER_NEVER_US;
		m->seats[i].last_starting_us = BB_MEMBER_NEVER_US;
		m->seats[i].last_stopping_us = BB_MEMBER_NEVER_US;
		m->seats[i].last_dropped_us = BB_MEMBER_NEVER_US;
		if (!strcmp(config->hosts[i].name, m->name))
			m->self = (uint32_t)i;
	}
}

void bb_member_seats_finish(struct bb_member *m)
{
	g_free(m->seats);
	g_free(m->sorted_us);
	g_free(m->buffer.age_units);
	g_free(m->buffer.seats);
	g_free(m->buffer.stopping);
	g_free(m->buffer.ages);
}

/* Returns, for each seat in @from, its index in @to by host name. */
static uint32_t *map_seats(const struct bb_config *from,
			   const struct bb_config *to)
{
	GHashTable *by_name = g_hash_table_new(g_str_hash, g_str_equal);
	uint32_t *map = g_new0(uint32_t, from->hosts_nr + 1);

	for (size_t i = 0; i < to->hosts_nr; i++)
		g_hash_table_insert(by_name, to->hosts[i].name,
				    GSIZE_TO_POINTER(i + 1));
	for (size_t i = 0; i < from->hosts_nr; i++) {
		gpointer p = g_hash_table_lookup(by_name, from->hosts[i].name);

		map[i] = p ? (uint32_t)GPOINTER_TO_SIZE(p) - 1 : BB_NO_ROW;
	}
	g_hash_table_destroy(by_name);
	return map;
}

/* Adds the list that is being replaced; the oldest one is dropped. */
static void push_former_seats(struct bb_member *m, const uint32_t *map)
{
	struct bb_former_seats *f = m->former;

	for (size_t i = 0; i < BB_MEMBER_FORMER_MAX; i++) {
		for (size_t k = 0; k < f[i].nr; k++) {
			if (f[i].map[k] != BB_NO_ROW)
				f[i].map[k] = map[f[i].map[k]];
		}
	}
	g_free(f[BB_MEMBER_FORMER_MAX - 1].map);
	memmove(&f[1], &f[0], (BB_MEMBER_FORMER_MAX - 1) * sizeof(*f));
	f[0].hash = m->o.config->seats_hash;
	f[0].nr = m->seats_nr;
	f[0].map = g_memdup2(map, (m->seats_nr + 1) * sizeof(*map));
}

static void remap_pending(struct bb_member *m, const uint32_t *map)
{
	/*
	 * Neighbours are chosen anew: when a short list grows, all nodes would
	 * go on to poll the seats of the short list and none of the others.
	 */
	m->neighbours_nr = 0;
	for (size_t i = 0; i < BB_MEMBER_PENDING_MAX; i++) {
		struct bb_pending *p = &m->pending[i];

		if (!p->nonce)
			continue;
		p->host = map[p->host];
		if (p->host == BB_NO_ROW)
			p->nonce = 0;
	}
}

void bb_member_seats_remap(struct bb_member *m, const struct bb_config *config)
{
	struct bb_member old = *m;
	uint32_t *map = map_seats(m->o.config, config);

	push_former_seats(m, map);
	remap_pending(m, map);
	bb_member_seats_init(m, config);
	for (size_t i = 0; i < old.seats_nr; i++) {
		if (map[i] != BB_NO_ROW)
			m->seats[map[i]] = old.seats[i];
	}
	bb_member_seats_finish(&old);
	g_free(map);
}
