/* Rules between a publication and the one that replaces it. */
#include "baobabward/config.h"

#include <string.h>

/* Maximum percentage of the hosts that one publication may change. */
#define HOSTS_CHANGE_MAX_PERCENT 10

/* Number of hosts of @a that @b does not list. */
static size_t hosts_missing(const struct bb_config *a,
			    const struct bb_config *b)
{
	size_t nr = 0;

	for (size_t i = 0; i < a->hosts_nr; i++)
		if (bb_config_find_host(b, a->hosts[i].name,
					strlen(a->hosts[i].name)) == BB_NO_ROW)
			nr++;
	return nr;
}

/* Number of hosts of a quorum: 60%, rounded up. */
static size_t quorum_size(size_t hosts_nr)
{
	return (hosts_nr * 6 + 9) / 10;
}

bool bb_config_same_hosts(const struct bb_config *a, const struct bb_config *b)
{
	return a->hosts_nr == b->hosts_nr && !hosts_missing(a, b);
}

/*
 * Version in which, by the document's own fields, the hosts of its base (the
 * publication that it was made from) last changed; 0 if they do not tell.
 */
static uint64_t base_hosts_version(const struct bb_config *c)
{
	return c->hosts_version == c->version ? c->hosts_version_before :
						c->hosts_version;
}

static int check_base_hosts_version(const struct bb_config *old,
				    const struct bb_config *next,
				    struct bb_error *err)
{
	uint64_t base = base_hosts_version(next);

	if (base > old->version)
		return bb_error_set(
			err, BB_ERROR_STALE,
			"document, column hosts_version: the hosts changed in "
			"version %llu, but the publication to replace is "
			"version %llu; replace the last publication, or make "
			"the document from it",
			(unsigned long long)base,
			(unsigned long long)old->version);
	if (base && base < old->hosts_version)
		return bb_error_set(
			err, BB_ERROR_STALE,
			"document, column hosts_version: made from a copy of "
			"before version %llu, which changed the hosts; make it "
			"from the publication that it replaces, or leave "
			"hosts_version and hosts_version_before out",
			(unsigned long long)old->hosts_version);
	return 0;
}

int bb_config_set_hosts_versions(const struct bb_config *old,
				 struct bb_config *next, struct bb_error *err)
{
	/* A publication without the fields tells only its own list of hosts. */
	uint64_t known = !old		    ? 0 :
			 old->hosts_version ? old->hosts_version :
					      old->version;

	if (old && check_base_hosts_version(old, next, err))
		return -1;
	if (old && bb_config_same_hosts(old, next)) {
		next->hosts_version = known;
		next->hosts_version_before = old->hosts_version_before;
	} else {
		next->hosts_version = next->version;
		next->hosts_version_before = known;
	}
	return 0;
}

int bb_config_check_successor(const struct bb_config *old,
			      const struct bb_config *next,
			      struct bb_error *err)
{
	size_t removed = hosts_missing(old, next);
	size_t added = hosts_missing(next, old);
	size_t changed = removed > added ? removed : added;
	size_t allowed = old->hosts_nr * HOSTS_CHANGE_MAX_PERCENT / 100;

	if (next->version <= old->version)
		return bb_error_set(
			err, BB_ERROR_STALE,
			"document, column version: %llu is not greater than "
			"the present version %llu",
			(unsigned long long)next->version,
			(unsigned long long)old->version);
	if (changed > (allowed ? allowed : 1))
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"hosts: %zu of %zu hosts change in one step, at most "
			"%zu may (%d%%, or one)",
			changed, old->hosts_nr, allowed ? allowed : 1,
			HOSTS_CHANGE_MAX_PERCENT);
	/*
	 * Replacing one of 1, 3 or 5 hosts would allow a quorum of the old list
	 * and one of the new list without a common host, and each of them could
	 * grant leases.
	 */
	if (quorum_size(old->hosts_nr) + quorum_size(next->hosts_nr) <=
	    old->hosts_nr + added)
		return bb_error_set(
			err, BB_ERROR_INVALID,
			"hosts: with %zu hosts, add a host and remove the "
			"other one in two steps",
			old->hosts_nr);
	return 0;
}
