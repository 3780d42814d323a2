/*
 * The newest accepted configuration: replaced by the control thread, read by
 * all threads.
 *
 * A reader takes a counted reference inside an epoch section, which is short
 * and takes no lock, and may then keep the snapshot for a whole request. The
 * writer drops its reference only after all sections that could still see the
 * old pointer have ended. It does not wait for them: a reader may have lost its
 * core in its section. bb_snapshots_reclaim() is called until none is left.
 */
#ifndef BB_NODE_SNAPSHOT_H
#define BB_NODE_SNAPSHOT_H

#include <stdbool.h>

#include "baobabward/config.h"

/**
 * struct bb_snapshot - a configuration with its reference count.
 * @config: the configuration; lives as long as the snapshot
 * @self: handle of this node's own host, or BB_NO_ROW
 * @refs: reference count; atomic
 */
struct bb_snapshot {
	struct bb_config *config;
	uint32_t self;
	int refs;
};

struct bb_snapshots;

/**
 * bb_snapshots_new() - create a publication point without a snapshot.
 * @host: name of this node's host, used to find @self
 */
struct bb_snapshots *bb_snapshots_new(const char *host);

/**
 * bb_snapshots_swap() - publish a newer configuration; one thread only.
 * @s: publication point
 * @config: owned by the callee from now on, also on failure
 *
 * Return: false when @config is not newer than the published one; it is freed.
 */
bool bb_snapshots_swap(struct bb_snapshots *s, struct bb_config *config);

/**
 * bb_snapshots_reclaim() - release replaced snapshots that no reader can see any
 *			    more; the thread of bb_snapshots_swap() only.
 * @s: publication point
 *
 * Return: false when none is left to release.
 */
bool bb_snapshots_reclaim(struct bb_snapshots *s);

/**
 * bb_snapshots_get() - take a reference to the published snapshot; any thread.
 *
 * Return: snapshot to release with bb_snapshot_put(), or NULL before the first.
 */
struct bb_snapshot *bb_snapshots_get(struct bb_snapshots *s);

/**
 * bb_snapshot_ref() - take another reference.
 */
struct bb_snapshot *bb_snapshot_ref(struct bb_snapshot *snapshot);

/**
 * bb_snapshot_put() - drop a reference; any thread.
 * @snapshot: may be NULL
 */
void bb_snapshot_put(struct bb_snapshot *snapshot);

/**
 * bb_snapshots_delete() - free the publication point after all readers have
 *			   stopped.
 */
void bb_snapshots_delete(struct bb_snapshots *s);

#endif
