/*
 * Health of the backend servers beside this node, on the control thread:
 * feeds outcomes and probes to the detection, and publishes what changed.
 */
#ifndef BB_NODE_HEALTH_MONITOR_H
#define BB_NODE_HEALTH_MONITOR_H

#include <glib.h>
#include <jansson.h>

#include "baobabward/health.h"
#include "baobabward/permit.h"
#include "libnode/control.h"

struct bb_health_monitor;

/**
 * struct bb_health_monitor_options - surroundings.
 * @context: main context of the control thread
 * @permits: of this node
 * @health_changed: takes over a change
 * @data: passed to @health_changed
 * @observe_only: see struct bb_health_options
 * @trial_probes_only: see struct bb_health_options
 * @send: sends questions for and answers with pool summaries
 * @send_data: passed to @send
 */
struct bb_health_monitor_options {
	GMainContext *context;
	struct bb_permits *permits;
	void (*health_changed)(void *data, struct bb_backend_health *g);
	void *data;
	bool observe_only;
	bool trial_probes_only;
	bb_send_fn *send;
	void *send_data;
};

struct bb_health_monitor *
bb_health_monitor_new(const struct bb_health_monitor_options *o,
		      struct bb_error *err);
void bb_health_monitor_configure(struct bb_health_monitor *w,
				 struct bb_snapshot *snapshot, int64_t now_us);

/**
 * bb_health_monitor_set_leaving() - the platform takes this host away, or no more.
 */
void bb_health_monitor_set_leaving(struct bb_health_monitor *w, bool leaving,
				   int64_t now_us);

/**
 * bb_health_monitor_observe() - take over an outcome from the traffic thread.
 */
void bb_health_monitor_observe(struct bb_health_monitor *w,
			       struct bb_observation *o, int64_t now_us);
/**
 * bb_health_monitor_receive() - handle a SUMMARY_REQUEST or SUMMARY.
 * @w: health
 * @from: host that sent it
 * @m: the message
 * @now_us: current time
 */
void bb_health_monitor_receive(struct bb_health_monitor *w, uint32_t from,
			       const struct bb_message *m, int64_t now_us);
void bb_health_monitor_tick(struct bb_health_monitor *w, int64_t now_us);

/**
 * bb_health_monitor_status() - array of the backend servers beside this node.
 */
json_t *bb_health_monitor_status(struct bb_health_monitor *w, int64_t now_us);
void bb_health_monitor_delete(struct bb_health_monitor *w);

#endif
