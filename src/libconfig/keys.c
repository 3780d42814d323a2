/* Generates keys of client accounts and converts their hashes. */
#include "baobabward/keys.h"

#include <assert.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

/* Number of random bytes of a key. */
#define KEY_RANDOM_SIZE 32

static_assert(BB_KEY_TEXT_SIZE ==
		      sizeof(BB_KEY_PREFIX) - 1 +
			      sodium_base64_ENCODED_LEN(
				      KEY_RANDOM_SIZE,
				      sodium_base64_VARIANT_URLSAFE_NO_PADDING),
	      "BB_KEY_TEXT_SIZE must have room for prefix, digits and NUL");

int bb_key_generate(char key[BB_KEY_TEXT_SIZE], struct bb_error *err)
{
	unsigned char random[KEY_RANDOM_SIZE];

	if (sodium_init() < 0)
		return bb_error_set(err, BB_ERROR_STATE,
				    "libsodium failed to start");
	randombytes_buf(random, sizeof(random));
	g_strlcpy(key, BB_KEY_PREFIX, BB_KEY_TEXT_SIZE);
	sodium_bin2base64(key + strlen(BB_KEY_PREFIX),
			  BB_KEY_TEXT_SIZE - strlen(BB_KEY_PREFIX), random,
			  sizeof(random),
			  sodium_base64_VARIANT_URLSAFE_NO_PADDING);
	sodium_memzero(random, sizeof(random));
	return 0;
}

void bb_key_hash_hex(const char *key, size_t size,
		     char hex[BB_KEY_HASH_HEX_SIZE])
{
	unsigned char hash[BB_KEY_HASH_SIZE];

	crypto_generichash(hash, sizeof(hash), (const unsigned char *)key, size,
			   NULL, 0);
	sodium_bin2hex(hex, BB_KEY_HASH_HEX_SIZE, hash, sizeof(hash));
}

int bb_key_hash_parse(const char *hex, size_t size,
		      uint8_t hash[BB_KEY_HASH_SIZE])
{
	if (!hex || size != BB_KEY_HASH_HEX_SIZE - 1 ||
	    strspn(hex, "0123456789abcdef") != size)
		return -1;
	return sodium_hex2bin(hash, BB_KEY_HASH_SIZE, hex, size, NULL, NULL,
			      NULL);
}
