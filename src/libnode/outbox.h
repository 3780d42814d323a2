/*
 * Sending of control messages by host: to other nodes through the endpoint,
 * to this node itself through a queue, so that no module is called from inside
 * its own send.
 */
#ifndef BB_NODE_OUTBOX_H
#define BB_NODE_OUTBOX_H

#include <glib.h>

#include "baobabward/wire.h"
#include "libnode/endpoint.h"

struct bb_outbox;

/**
 * struct bb_outbox_options - surroundings.
 * @context: main context of the control thread
 * @endpoint: of the control port
 * @receive: takes a message that this node sent to itself
 * @data: passed to @receive
 */
struct bb_outbox_options {
	GMainContext *context;
	struct bb_endpoint *endpoint;
	void (*receive)(void *data, const struct bb_message *m);
	void *data;
};

struct bb_outbox *bb_outbox_new(const struct bb_outbox_options *o);

/**
 * bb_outbox_set_self() - handle of this host in the configuration in force.
 *
 * Messages that wait are dropped, since they name hosts by older handles.
 */
void bb_outbox_set_self(struct bb_outbox *p, uint32_t self);

/**
 * bb_outbox_send() - bb_send_fn with a struct bb_outbox as its data.
 *
 * A message to a host that is not connected yet waits for a short time.
 */
void bb_outbox_send(void *post, uint32_t host, const struct bb_message *m);

void bb_outbox_delete(struct bb_outbox *p);

#endif
