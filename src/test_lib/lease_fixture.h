// Three hosts and the lease map of their configuration. The test advances @now,
// which is in microseconds.
#ifndef TEST_LIB_LEASE_FIXTURE_H
#define TEST_LIB_LEASE_FIXTURE_H

#include <glib.h>

#include "baobabward/clock.h"
#include "baobabward/lease.h"

struct ThreeHosts {
	struct bb_config config = {};
	struct bb_host hosts[3] = {};
	struct bb_lease_map *map;
	int64_t now = 100 * BB_US_PER_S;

	ThreeHosts()
	{
		for (int i = 0; i < 3; i++)
			hosts[i].name = g_strdup_printf("host%d", i);
		config.version = 1;
		config.hosts = hosts;
		config.hosts_nr = 3;
		config.automation = true;
		map = bb_lease_map_new(&config, true);
	}

	~ThreeHosts()
	{
		bb_lease_map_unref(map);
		for (struct bb_host &h : hosts)
			g_free(h.name);
	}

	ThreeHosts(const ThreeHosts &) = delete;
	ThreeHosts &operator=(const ThreeHosts &) = delete;
};

#endif
