/*
 * ZAP handler (RFC 27/ZAP 1.0): accepts connections of nodes whose CURVE public
 * key is in the peer list.
 */
#include "libwire/transport_private.h"

#include <string.h>
#include <zmq.h>

#define CURVE_KEY_BYTES 32
#define ZAP_FRAMES_MAX 8
#define ZAP_FRAME_BYTES 256

/**
 * struct zap_request - frames of an authentication request.
 * @frames: version, request id, domain, address, identity, mechanism, key
 * @sizes: sizes of @frames in bytes, before truncation
 * @frames_nr: number of frames, at most ZAP_FRAMES_MAX
 */
struct zap_request {
	char frames[ZAP_FRAMES_MAX][ZAP_FRAME_BYTES];
	int sizes[ZAP_FRAMES_MAX];
	int frames_nr;
};

/* Position of a frame in a request, and the number of its frames. */
enum zap_frame {
	ZAP_VERSION,
	ZAP_REQUEST_ID,
	ZAP_MECHANISM = 5,
	ZAP_KEY = 6,
	ZAP_FRAMES
};

/* Reads one request. Frames over the limits are truncated, so it is refused. */
static bool read_request(void *socket, struct zap_request *r)
{
	char excess[ZAP_FRAME_BYTES];
	size_t size = sizeof(int);
	int more = 1, n;

	r->frames_nr = 0;
	while (more) {
		bool has_room = r->frames_nr < ZAP_FRAMES_MAX;

		n = zmq_recv(socket,
			     has_room ? r->frames[r->frames_nr] : excess,
			     ZAP_FRAME_BYTES, ZMQ_DONTWAIT);
		if (n < 0)
			return false;
		if (has_room)
			r->sizes[r->frames_nr++] = n;
		zmq_getsockopt(socket, ZMQ_RCVMORE, &more, &size);
	}
	return true;
}

/*
 * Whether the client is accepted: it uses CURVE and its public key is in the
 * peer list. Sets @key to the public key in Z85.
 */
static bool is_accepted(const struct bb_transport *t,
			const struct zap_request *r, char key[41])
{
	if (r->frames_nr != ZAP_FRAMES ||
	    r->sizes[ZAP_MECHANISM] != (int)strlen("CURVE") ||
	    memcmp(r->frames[ZAP_MECHANISM], "CURVE", strlen("CURVE")) != 0 ||
	    r->sizes[ZAP_KEY] != CURVE_KEY_BYTES ||
	    !zmq_z85_encode(key, (const uint8_t *)r->frames[ZAP_KEY],
			    CURVE_KEY_BYTES))
		return false;
	return g_hash_table_contains(t->hosts_by_key, key);
}

bool bb_zap_serve(struct bb_transport *t)
{
	void *socket = t->zap->socket;
	struct zap_request r;
	char key[41] = "";
	bool ok;
	int id_size = 0;

	if (!read_request(socket, &r))
		return false;
	if (r.frames_nr > ZAP_REQUEST_ID &&
	    r.sizes[ZAP_REQUEST_ID] <= ZAP_FRAME_BYTES)
		id_size = r.sizes[ZAP_REQUEST_ID];
	ok = is_accepted(t, &r, key);
	if (!ok)
		t->stats.unknown_peers++;
	zmq_send(socket, "1.0", 3, ZMQ_SNDMORE);
	zmq_send(socket, r.frames[ZAP_REQUEST_ID], (size_t)id_size,
		 ZMQ_SNDMORE);
	zmq_send(socket, ok ? "200" : "400", 3, ZMQ_SNDMORE);
	zmq_send(socket, ok ? "OK" : "unknown key", ok ? 2 : 11, ZMQ_SNDMORE);
	zmq_send(socket, key, ok ? strlen(key) : 0, ZMQ_SNDMORE);
	zmq_send(socket, "", 0, 0);
	return true;
}
