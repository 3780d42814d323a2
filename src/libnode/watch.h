/*
 * Health of the backend servers beside this node, on the control thread:
 * feeds outcomes and probes to the detection, and publishes what changed.
 */
#ifndef BB_NODE_WATCH_H
#define BB_NODE_WATCH_H

#include <glib.h>
#include <jansson.h>

#include "baobabward/health.h"
#include "baobabward/permit.h"
#include "libnode/control.h"

struct bb_watch;

/**
 * struct bb_watch_options - surroundings.
 * @context: main context of the control thread
 * @permits: of this node
 * @gated: takes over a change
 * @data: passed to @gated
 * @observe_only: see struct bb_health_options
 * @trial_probes_only: see struct bb_health_options
 * @send: sends questions for and answers with pool summaries
 * @send_data: passed to @send
 */
struct bb_watch_options {
	GMainContext *context;
	struct bb_permits *permits;
	void (*gated)(void *data, struct bb_gate *g);
	void *data;
	bool observe_only;
	bool trial_probes_only;
	bb_send_fn *send;
	void *send_data;
};

struct bb_watch *bb_watch_new(const struct bb_watch_options *o,
			      struct bb_error *err);
void bb_watch_configure(struct bb_watch *w, struct bb_snapshot *snapshot,
			int64_t now_us);

/**
 * bb_watch_set_leaving() - the platform takes this host away, or no more.
 */
void bb_watch_set_leaving(struct bb_watch *w, bool leaving, int64_t now_us);

/**
 * bb_watch_observe() - take over an outcome from the traffic thread.
 */
void bb_watch_observe(struct bb_watch *w, struct bb_observation *o,
		      int64_t now_us);
/**
 * bb_watch_receive() - handle a SUMMARY_REQUEST or SUMMARY.
 * @w: health
 * @from: host that sent it
 * @m: the message
 * @now_us: current time
 */
void bb_watch_receive(struct bb_watch *w, uint32_t from,
		      const struct bb_message *m, int64_t now_us);
void bb_watch_tick(struct bb_watch *w, int64_t now_us);

/**
 * bb_watch_status() - array of the backend servers beside this node.
 */
json_t *bb_watch_status(struct bb_watch *w, int64_t now_us);
void bb_watch_delete(struct bb_watch *w);

#endif
