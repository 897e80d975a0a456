"""Messages between processes: the thrift file and generated code."""
