/*
 * Committees of the groups by rendezvous hashing: for each group, every host
 * gets a score from its name and the group, and those with the highest scores
 * are the committee. Nodes with the same host list have the same committees.
 *
 * In a large fleet only a part of the hosts, those with the highest scores for
 * no group, are in committees. Each node talks to the holders of all groups that
 * it uses, so that this bounds its connections.
 */
#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "baobabward/lease.h"

/* Part of the hosts that are in committees, and the least number of them. */
#define POOL_DIVISOR 8
#define POOL_MIN 32

/*
 * Committees of one host list.
 * @ids: identifier of each host
 * @host_index: index of each host, by identifier
 * @pool: hosts that are in committees
 * @committees: hosts of each group's committee, by rank
 */
struct bb_lease_map {
	int refs;
	uint32_t seats;
	uint32_t holders;
	size_t hosts_nr;
	uint64_t *ids;
	GHashTable *host_index;
	uint32_t *pool;
	size_t pool_nr;
	uint32_t (*committees)[BB_LEASE_COMMITTEE_MAX];
};

static uint64_t host_id(const struct bb_config *c, size_t host)
{
	const char *name = c->hosts[host].name;

	return XXH3_64bits(name, strlen(name));
}

uint32_t bb_lease_group(const char *name, size_t size)
{
	return XXH3_64bits(name, size) % BB_LEASE_GROUPS;
}

/* Inserts a host if it is among the @seats highest scores, highest first. */
static void insert_host(uint32_t *committee, uint64_t *scores, uint32_t *nr,
			uint32_t seats, uint32_t host, uint64_t score)
{
	uint32_t i;

	if (*nr == seats && score <= scores[seats - 1])
		return;
	i = *nr < seats ? (*nr)++ : seats - 1;
	for (; i > 0 && scores[i - 1] < score; i--) {
		scores[i] = scores[i - 1];
		committee[i] = committee[i - 1];
	}
	scores[i] = score;
	committee[i] = host;
}

static void choose_committee(struct bb_lease_map *m, uint32_t group)
{
	uint64_t scores[BB_LEASE_COMMITTEE_MAX];
	uint32_t nr = 0;

	for (size_t i = 0; i < m->pool_nr; i++) {
		const uint64_t *id = &m->ids[m->pool[i]];

		insert_host(m->committees[group], scores, &nr, m->seats,
			    m->pool[i],
			    XXH3_64bits_withSeed(id, sizeof(*id), group));
	}
}

static gint compare_scores(gconstpointer a, gconstpointer b, gpointer data)
{
	const struct bb_lease_map *m = data;
	uint64_t x = m->ids[*(const uint32_t *)a];
	uint64_t y = m->ids[*(const uint32_t *)b];

	return (x < y) - (x > y);
}

/* The hosts with the highest identifiers, which are hashes of their names. */
static void choose_pool(struct bb_lease_map *m, bool whole)
{
	m->pool = g_new(uint32_t, m->hosts_nr);
	m->pool_nr = m->hosts_nr;
	for (size_t i = 0; i < m->hosts_nr; i++)
		m->pool[i] = (uint32_t)i;
	if (whole || m->hosts_nr <= POOL_MIN)
		return;
	g_qsort_with_data(m->pool, (gint)m->hosts_nr, sizeof(*m->pool),
			  compare_scores, m);
	m->pool_nr = MAX(POOL_MIN, m->hosts_nr / POOL_DIVISOR);
}

bool bb_lease_map_fits(const struct bb_lease_map *m, const struct bb_config *c)
{
	if (m->hosts_nr != c->hosts_nr)
		return false;
	for (size_t i = 0; i < c->hosts_nr; i++)
		if (m->ids[i] != host_id(c, i))
			return false;
	return true;
}

struct bb_lease_map *bb_lease_map_new(const struct bb_config *c, bool whole)
{
	struct bb_lease_map *m = g_new0(struct bb_lease_map, 1);

	m->refs = 1;
	m->holders = BB_LEASE_HOLDERS;
	m->hosts_nr = c->hosts_nr;
	m->seats = MIN(c->hosts_nr, (size_t)BB_LEASE_COMMITTEE_MAX);
	/* With an even number, two holders could have half each. */
	if (m->seats && m->seats % 2 == 0)
		m->seats--;
	m->ids = g_new0(uint64_t, c->hosts_nr);
	m->host_index = g_hash_table_new(g_int64_hash, g_int64_equal);
	m->committees = g_malloc0_n(BB_LEASE_GROUPS, sizeof(*m->committees));
	for (size_t i = 0; i < c->hosts_nr; i++) {
		m->ids[i] = host_id(c, i);
		g_hash_table_insert(m->host_index, &m->ids[i],
				    GSIZE_TO_POINTER(i));
	}
	choose_pool(m, whole);
	for (uint32_t group = 0; group < BB_LEASE_GROUPS; group++)
		choose_committee(m, group);
	return m;
}

void bb_lease_map_set_holders(struct bb_lease_map *m, uint32_t holders)
{
	m->holders = holders;
}

uint32_t bb_lease_map_holders(const struct bb_lease_map *m)
{
	return m->holders;
}

struct bb_lease_map *bb_lease_map_ref(struct bb_lease_map *m)
{
	m->refs++;
	return m;
}

void bb_lease_map_unref(struct bb_lease_map *m)
{
	if (!m || --m->refs)
		return;
	g_hash_table_destroy(m->host_index);
	g_free(m->ids);
	g_free(m->pool);
	g_free(m->committees);
	g_free(m);
}

uint32_t bb_lease_map_seats(const struct bb_lease_map *m)
{
	return m->seats;
}

uint32_t bb_lease_map_seat(const struct bb_lease_map *m, uint32_t group,
			   uint32_t rank)
{
	return m->committees[group][rank];
}

bool bb_lease_map_same_hosts(const struct bb_lease_map *a,
			     const struct bb_lease_map *b)
{
	if (a->hosts_nr != b->hosts_nr)
		return false;
	for (size_t i = 0; i < a->hosts_nr; i++)
		if (!g_hash_table_contains(b->host_index, &a->ids[i]))
			return false;
	return true;
}

uint64_t bb_lease_map_host_id(const struct bb_lease_map *m, uint32_t host)
{
	return host < m->hosts_nr ? m->ids[host] : 0;
}

uint32_t bb_lease_map_find(const struct bb_lease_map *m, uint64_t id)
{
	gpointer value;

	if (!g_hash_table_lookup_extended(m->host_index, &id, NULL, &value))
		return BB_NO_ROW;
	return GPOINTER_TO_SIZE(value);
}
