/*
 * Directory of discovered backend servers: the entries of a registry, with the
 * rules for entries that expire, are reassigned or are registered again.
 *
 * A host is identified by the address of its backend servers. It stays listed
 * for some time after its last entry was removed, because its node still
 * accepts requests of callers on that host.
 *
 * While the registry is down, all entries remain. Entries may expire in that
 * time although their backend servers run, so that entries that are missing
 * after an outage are dropped only once their backend servers have had time to
 * register again. An outage in which no entry can have expired, such as a cut
 * connection, keeps nothing: an entry outlives two heartbeats that fail.
 *
 * The registry may be restored from an older copy. A backend server that was
 * leaving stays so until it starts again, whatever the copy says, and one whose
 * entry was removed is used only if the registry still has it when all that was
 * lost has been written again.
 *
 * No I/O. Times are microseconds of the caller's monotonic clock. Not thread
 * safe.
 */
#ifndef BAOBABWARD_DIRECTORY_H
#define BAOBABWARD_DIRECTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "baobabward/config.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct bb_directory_entry - one registered backend server.
 * @id: unique name; a restarted backend server may keep its name
 * @service: name of its service
 * @zone: availability zone
 * @address: IP address of its host
 * @slots: requests that it runs concurrently
 * @leaving: it is not given new requests
 * @started_ms: wall time at which it started, as reported by itself; tells its
 *              starts apart. Of two ids with one address, the later start wins.
 * @warmup_left_ms: time from the write of the entry for which it stays cold, 0 if
 *                  it is not cold
 * @cold_until_us: latest end of the cold time, 0 if the entry tells none; set by
 *                 the directory from the time at which it first saw
 *                 @warmup_left_ms
 */
struct bb_directory_entry {
	char *id;
	char *service;
	char *zone;
	char *address;
	uint32_t slots;
	bool leaving;
	int64_t started_ms;
	int64_t warmup_left_ms;
	int64_t cold_until_us;
};

/**
 * bb_directory_entry_clear() - free the strings of an entry, which is empty then.
 * @e: entry whose strings are owned by the caller
 */
void bb_directory_entry_clear(struct bb_directory_entry *e);

/**
 * struct bb_directory_host - a host on which a node may run.
 * @address: IP address, unique
 * @zone: availability zone
 */
struct bb_directory_host {
	const char *address;
	const char *zone;
};

/**
 * struct bb_directory_options - options; 0 selects the default.
 * @self_address: IP address of this host, always listed
 * @self_zone: its availability zone
 * @heartbeat_us: interval at which backend servers write their entries, which
 *                expire after three without a write; 0 if unknown, so that
 *                entries may expire in any outage
 * @reregistration_us: time after an outage of the registry in which entries may
 *                     be missing although their backend servers run (2.2 s)
 * @host_retention_us: time for which a host without an entry stays listed
 *                     (60 s)
 */
struct bb_directory_options {
	const char *self_address;
	const char *self_zone;
	int64_t heartbeat_us;
	int64_t reregistration_us;
	int64_t host_retention_us;
};

/**
 * struct bb_directory - known entries and hosts.
 */
struct bb_directory;

struct bb_directory *bb_directory_new(const struct bb_directory_options *o);
void bb_directory_delete(struct bb_directory *d);

/**
 * bb_directory_put() - add or replace an entry that was written.
 * @d: directory
 * @e: entry; copied
 * @now_us: current time
 *
 * If an entry with the same id and a later start is known, this one is in doubt:
 * it may be a delayed write of the former process, or the present process may
 * have started after the clock of its host was set back. It takes effect some
 * seconds later unless the known one is written again. Until then the backend
 * server counts as leaving if either of them says so.
 */
void bb_directory_put(struct bb_directory *d,
		      const struct bb_directory_entry *e, int64_t now_us);

/**
 * bb_directory_remove() - remove an entry that was deleted, or that is no
 * longer the entry of a backend server.
 */
void bb_directory_remove(struct bb_directory *d, const char *id,
			 int64_t now_us);

/**
 * bb_directory_begin_list() - begin a complete list, whose entries are passed
 * to bb_directory_put().
 */
void bb_directory_begin_list(struct bb_directory *d);

/**
 * bb_directory_end_list() - end the list; entries that were not put are
 * removed.
 */
void bb_directory_end_list(struct bb_directory *d, int64_t now_us);

/**
 * bb_directory_registry_down() - report that the registry does not answer.
 * @d: directory
 * @since_us: time since which it may not have taken the writes of backend
 *            servers
 */
void bb_directory_registry_down(struct bb_directory *d, int64_t since_us);

/**
 * bb_directory_registry_up() - report that the registry answers; a complete
 * list should follow.
 */
void bb_directory_registry_up(struct bb_directory *d, int64_t now_us);

/**
 * bb_directory_registry_restored() - report that the registry was restored from
 * an older copy; a complete list should follow.
 */
void bb_directory_registry_restored(struct bb_directory *d, int64_t now_us);

/**
 * bb_directory_tick() - drop the entries and hosts that are due.
 * @d: directory
 * @now_us: current time
 *
 * Return: true if entries or hosts changed since the last call.
 */
bool bb_directory_tick(struct bb_directory *d, int64_t now_us);

/**
 * struct bb_directory_filter - chooses entries.
 * @accepts: whether an entry is listed
 * @data: passed to @accepts
 */
struct bb_directory_filter {
	bool (*accepts)(void *data, const struct bb_directory_entry *e);
	void *data;
};

/**
 * bb_directory_entries() - list backend servers in order of their ids.
 * @d: directory
 * @filter: entries to list, NULL for all
 * @nr: set to the number
 *
 * Of several such entries with one address only the one that started last is
 * returned.
 *
 * Return: array that the caller frees with g_free(); its elements stay valid
 * until the next call of another function.
 */
const struct bb_directory_entry **
bb_directory_entries(struct bb_directory *d,
		     const struct bb_directory_filter *filter, size_t *nr);

/**
 * bb_directory_hosts() - list hosts in order of their addresses.
 * @d: directory
 * @nr: set to the number
 *
 * Return: array that the caller frees with g_free(); its strings stay valid
 * until the next call of another function.
 */
struct bb_directory_host *bb_directory_hosts(struct bb_directory *d,
					     size_t *nr);

#ifdef __cplusplus
}
#endif
#endif
