/*
 * Decodes arbitrary bytes. A message that is accepted must encode, and the
 * result must decode again.
 */
#include <stdlib.h>

#include "baobabward/wire.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct bb_decoded_message *d, *again;
	size_t encoded_size;
	char *encoded;

	d = bb_wire_decode((const char *)data, size, NULL);
	if (!d)
		return 0;
	encoded =
		bb_wire_encode(bb_decoded_message_get(d), &encoded_size, NULL);
	if (!encoded)
		abort();
	again = bb_wire_decode(encoded, encoded_size, NULL);
	if (!again)
		abort();
	bb_decoded_message_delete(again);
	free(encoded);
	bb_decoded_message_delete(d);
	return 0;
}
