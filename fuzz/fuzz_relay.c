/*
 * Passes arbitrary messages of peers to a relay that waits for an answer. No
 * input may crash it, take its revision back, change its era, or let it know of
 * the registry without an answer that it asked for.
 */
#include <glib.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "baobabward/clock.h"
#include "baobabward/relay.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Revision and era that the relay has read before the messages arrive. */
#define REVISION 10
#define ERA 1

static const char document[] =
	"{\"version\":1,\"automation\":true,\"idempotency_window_ms\":0,"
	"\"hosts\":["
	"{\"name\":\"a\",\"region\":\"r\",\"zone\":\"z\",\"address\":"
	"\"127.0.0.1\",\"data_port\":1,\"control_port\":2},"
	"{\"name\":\"b\",\"region\":\"r\",\"zone\":\"z\",\"address\":"
	"\"127.0.0.2\",\"data_port\":1,\"control_port\":2},"
	"{\"name\":\"c\",\"region\":\"r\",\"zone\":\"z\",\"address\":"
	"\"127.0.0.3\",\"data_port\":1,\"control_port\":2}],"
	"\"services\":[],\"backends\":[],\"routes\":[],\"accounts\":[]}";

static void ignore_message(void *data, uint32_t host,
			   const struct bb_message *m)
{
	char *encoded;
	size_t size;

	(void)data;
	(void)host;
	encoded = bb_wire_encode(m, &size, NULL);
	if (!encoded)
		abort();
	free(encoded);
}

static bool is_alive(void *data, uint32_t host, int64_t now_us)
{
	(void)data;
	(void)host;
	(void)now_us;
	return true;
}

static void check_answer(void *data,
			 const struct bb_message_registry_changes *m)
{
	bool *waits = data;

	if (!*waits)
		abort();
	*waits = false;
	if (m && (m->era != ERA || m->revision < REVISION))
		abort();
}

static void fuzz(struct bb_relay *r, const char *data, size_t size)
{
	struct bb_decoded_message *d = bb_wire_decode(data, size, NULL);
	struct bb_relay_status s;
	int64_t now_us = BB_US_PER_S;
	bool waits = true;
	struct bb_relay_reader reader = { check_answer, NULL, &waits };
	uint64_t before;

	if (!d)
		return;
	bb_relay_set_reader(r, &reader);
	bb_relay_confirm(r, ERA, REVISION, now_us);
	waits = bb_relay_read(r, ERA, REVISION, now_us);
	for (uint32_t host = 0; host < 4; host++) {
		bb_relay_status(r, now_us, &s);
		before = s.revision;
		bb_relay_receive(r, host, bb_decoded_message_get(d), now_us);
		bb_relay_status(r, now_us, &s);
		if (s.revision < before || (waits && s.revision != before))
			abort();
	}
	for (int i = 0; i < 10; i++)
		bb_relay_tick(r, now_us += 100 * BB_US_PER_MS);
	bb_decoded_message_delete(d);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static const char *const names[] = { "a", "b", "c" };
	struct bb_config *c = bb_config_parse(document, strlen(document), NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		struct bb_relay_options o = {
			.self = names[i],
			.apply_us = 2 * BB_US_PER_S,
			.hosts_per_reader = 32,
			.send = ignore_message,
			.alive = is_alive,
		};
		struct bb_relay *r = bb_relay_new(&o);

		bb_relay_set_config(r, c);
		fuzz(r, (const char *)data, size);
		bb_relay_delete(r);
	}
	bb_config_delete(c);
	return 0;
}
