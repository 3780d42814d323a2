/*
 * Outgoing control messages, addressed by host. Messages to other nodes go
 * through the endpoint. Messages to this node itself go through a queue, so
 * that a module is never called from inside its own send.
 */
#ifndef BB_NODE_OUTBOX_H
#define BB_NODE_OUTBOX_H

#include <glib.h>

#include "baobabward/wire.h"
#include "libnode/endpoint.h"

struct bb_outbox;

/**
 * struct bb_outbox_options - options and callbacks.
 * @context: main context of the control thread
 * @endpoint: of the control port
 * @receive: called with a message that this node sent to itself; the message is
 *	     valid during the call
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
 * bb_outbox_set_self() - set the handle of this host in a newer configuration.
 *
 * Queued messages are dropped, because they name hosts by handles of the older
 * configuration.
 */
void bb_outbox_set_self(struct bb_outbox *ob, uint32_t self);

/**
 * bb_outbox_send() - send a message; a bb_send_fn.
 * @outbox: struct bb_outbox
 * @host: handle of the host
 * @m: the message; copied if it has to wait
 *
 * A message to a host that is not connected yet is queued for a short time and
 * then dropped.
 */
void bb_outbox_send(void *outbox, uint32_t host, const struct bb_message *m);

void bb_outbox_delete(struct bb_outbox *ob);

#endif
