/*
 * Directory of discovered backend servers: what a registry says of them, with
 * the rules for entries that lapse, change hands or come back.
 *
 * The host of a backend server is known by its address. A host stays listed
 * for some time after its last backend server went, because its node still
 * takes requests of callers beside it.
 *
 * While the registry cannot be read, all entries hold. Entries may lapse in
 * that time although their backend servers live, so that those missing after
 * its return are dropped only when they had time to register again.
 *
 * Pure: no I/O, times are microseconds of the caller's monotonic clock. One
 * thread.
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
 * @id: unique name; a backend server may start again under the name it had
 * @service: name of its service
 * @zone: availability zone
 * @address: IP number of its host
 * @slots: requests that it runs at once
 * @leaving: it gets no new work
 * @started_ms: wall time at which it started, as it says; orders the starts
 */
struct bb_directory_entry {
	char *id;
	char *service;
	char *zone;
	char *address;
	uint32_t slots;
	bool leaving;
	int64_t started_ms;
};

/**
 * struct bb_directory_host - a host on which a node may run.
 * @address: IP number, unique
 * @zone: availability zone
 */
struct bb_directory_host {
	const char *address;
	const char *zone;
};

/**
 * struct bb_directory_options - options; 0 selects the default.
 * @self_address: IP number of this host, always listed
 * @self_zone: its availability zone
 * @reregistration_us: time after the registry's return in which entries may be missing
 *             although their backend servers live (2.2 s)
 * @host_retention_us: time for which a host without an entry stays listed (60 s)
 */
struct bb_directory_options {
	const char *self_address;
	const char *self_zone;
	int64_t reregistration_us;
	int64_t host_retention_us;
};

struct bb_directory;

struct bb_directory *bb_directory_new(const struct bb_directory_options *o);
void bb_directory_delete(struct bb_directory *d);

/**
 * bb_directory_put() - an entry was written.
 * @d: directory
 * @e: entry; copied
 * @now_us: current time
 *
 * Ignored if an entry of that name that started later is known: a delayed
 * write of the former process.
 */
void bb_directory_put(struct bb_directory *d,
		      const struct bb_directory_entry *e, int64_t now_us);

/**
 * bb_directory_remove() - an entry was removed, or names no backend server.
 */
void bb_directory_remove(struct bb_directory *d, const char *id,
			 int64_t now_us);

/**
 * bb_directory_begin_list() - a complete list follows, by bb_directory_put().
 */
void bb_directory_begin_list(struct bb_directory *d);

/**
 * bb_directory_end_list() - entries that were not put are gone.
 */
void bb_directory_end_list(struct bb_directory *d, int64_t now_us);

/**
 * bb_directory_registry_down() - the registry does not answer.
 */
void bb_directory_registry_down(struct bb_directory *d);

/**
 * bb_directory_registry_up() - the registry answers again; a list should follow.
 */
void bb_directory_registry_up(struct bb_directory *d, int64_t now_us);

/**
 * bb_directory_tick() - drop what is due.
 * @d: directory
 * @now_us: current time
 *
 * Return: true if entries or hosts changed since the last call.
 */
bool bb_directory_tick(struct bb_directory *d, int64_t now_us);

/**
 * bb_directory_entries() - backend servers, in order of their names.
 * @d: directory
 * @nr: set to the number
 *
 * Of several at one address only the one that started last is returned.
 *
 * Return: array that the caller frees with g_free(); its elements stay valid
 * until the next call of another function.
 */
const struct bb_directory_entry **bb_directory_entries(struct bb_directory *d,
						       size_t *nr);

/**
 * bb_directory_hosts() - hosts in order of their addresses.
 * @d: directory
 * @nr: set to the number
 *
 * Return: array that the caller frees with g_free(); its texts stay valid
 * until the next call of another function.
 */
struct bb_directory_host *bb_directory_hosts(struct bb_directory *d,
					     size_t *nr);

#ifdef __cplusplus
}
#endif
#endif
