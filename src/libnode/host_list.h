/*
 * Reads the platform's list of hosts from the configuration service, on the
 * control thread, and tells which configured hosts are leaving.
 *
 * Protocol: GET /v1/hosts?after=N answers 200 with a list (hosts.h) whose
 * sequence number is above N, or 204 when there is none. The list is polled and
 * not watched, since a watch that is held open counts as a read as well.
 */
#ifndef BB_NODE_HOST_LIST_H
#define BB_NODE_HOST_LIST_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "baobabward/error.h"
#include "libnode/snapshot.h"

struct bb_host_list;

/**
 * struct bb_host_list_options - options of the reader.
 * @context: main context of the control thread
 * @url: base URL of the configuration service
 * @period_us: mean time between two reads
 * @random: random numbers, owned by the caller
 * @leaving_changed: called when the set of leaving configured hosts has changed
 * @data: passed to @leaving_changed
 */
struct bb_host_list_options {
	GMainContext *context;
	const char *url;
	int64_t period_us;
	GRand *random;
	void (*leaving_changed)(void *data);
	void *data;
};

struct bb_host_list *bb_host_list_new(const struct bb_host_list_options *o,
				      struct bb_error *err);

/**
 * bb_host_list_configure() - determine the leaving hosts of a newer snapshot.
 *
 * Does not call @leaving_changed; the caller reads the result itself.
 */
void bb_host_list_configure(struct bb_host_list *l,
			    struct bb_snapshot *snapshot);

/**
 * bb_host_list_tick() - start a read of the list if one is due.
 */
void bb_host_list_tick(struct bb_host_list *l, int64_t now_us);

/**
 * bb_host_list_leaving() - whether a host of the configuration is leaving.
 * @l: reader, NULL when the list is not read
 * @host: handle in the snapshot of bb_host_list_configure()
 */
bool bb_host_list_leaving(const struct bb_host_list *l, uint32_t host);

/**
 * bb_host_list_status() - state of the list for operators.
 * @l: reader, NULL when the list is not read
 * @now_us: monotonic time
 *
 * Return: object, or JSON null without a reader or a snapshot.
 */
json_t *bb_host_list_status(const struct bb_host_list *l, int64_t now_us);

void bb_host_list_delete(struct bb_host_list *l);

#endif
