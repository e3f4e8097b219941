/** Stands for a message of a caller that does not parse. */
class MalformedRequest {
  readonly message = 'the request does not parse';
}

export default MalformedRequest;
